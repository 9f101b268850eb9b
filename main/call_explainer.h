#ifndef MAIN_CALL_EXPLAINER_H_
#define MAIN_CALL_EXPLAINER_H_

#include <istream>
#include <string>
#include <vector>

namespace damasktack {

// One parsed line of a host's log.
struct LogLine {
  // Timestamp as written in the log; lines of several hosts are sorted by it.
  std::string time;
  // Host that wrote the line according to the log, else the name of the file.
  std::string host;
  std::string event;
  // The line from "event=" to its end.
  std::string text;

  // Returns the value of a key; empty if the line has no such key.
  std::string Value(const std::string& key) const;
};

// Explanation of one call's outcome from the logs.
struct CallExplanation {
  // The call's lines in chronological order.
  std::vector<LogLine> calls;
  // One sentence for each of these lines.
  std::vector<std::string> explanations;
  // Events logged before the call by the hosts that handled it, which describe
  // their state: routes, endpoints, store, peers, starts and stops.
  std::vector<LogLine> prior_events;
};

// Parses the events of one log; lines without an event are skipped.
std::vector<LogLine> ReadLog(std::istream& in, const std::string& name);

CallExplanation ExplainCall(const std::string& call,
                            std::vector<LogLine> lines);

}  // namespace damasktack

#endif  // MAIN_CALL_EXPLAINER_H_
