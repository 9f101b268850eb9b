#ifndef MAIN_CALL_EXPLAINER_H_
#define MAIN_CALL_EXPLAINER_H_

#include <istream>
#include <string>
#include <vector>

namespace damasktack {

// One line of a host's log, as far as an explanation needs it.
struct LogLine {
  // As written; lines of several hosts sort by it.
  std::string time;
  // The host that wrote it, where the log says so, else the file's name.
  std::string host;
  std::string event;
  // Everything from "event=" on.
  std::string text;

  // The value of a key; empty where the line has none.
  std::string Value(const std::string& key) const;
};

// What the logs tell of one call.
struct CallExplanation {
  // Lines of the call, in order of time.
  std::vector<LogLine> calls;
  // A sentence on each of them.
  std::vector<std::string> explanations;
  // What the hosts that handled it had come to believe in the seconds before:
  // routes, endpoints, store, peers, starts and stops.
  std::vector<LogLine> beliefs;
};

// The events of one log. Lines that hold none are passed over.
std::vector<LogLine> ReadLog(std::istream& in, const std::string& name);

CallExplanation ExplainCall(const std::string& call,
                            std::vector<LogLine> lines);

}  // namespace damasktack

#endif  // MAIN_CALL_EXPLAINER_H_
