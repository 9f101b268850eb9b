#include "main/call_explainer.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace damasktack {

namespace {

constexpr std::string_view kEvent = "event=";
// Maximum number of events shown per host: the latest ones before the call.
constexpr std::size_t kMaxEventsPerHost = 8;

struct Meaning {
  std::string_view failure;
  std::string_view text;
};

// Explanations of the failures whose name does not say enough.
constexpr std::array kMeanings = {
    Meaning{"shed",
            "no endpoint could have served it on time, or one refused it and "
            "the budget for repeats was spent; it did not run"},
    Meaning{"no-endpoint", "no endpoint of the service was usable"},
    Meaning{"no-route", "the routes in force have none for host and path"},
    Meaning{"not-current", "the host had just started and knew no routes yet"},
    Meaning{"deadline", "its time was up before it could be sent"},
    Meaning{"timed-out",
            "it was sent and its time was up without an answer; it may have "
            "run"},
    Meaning{"broken",
            "the endpoint's connection broke after the call was sent; it may "
            "have run"},
    Meaning{"cancelled", "its caller left"},
    Meaning{"quarantined",
            "endpoints ended each time they ran the same request; it was not "
            "sent to one more"},
    Meaning{"not-connected",
            "the endpoint could not be reached; it did not "
            "run"},
    Meaning{"queue-full", "too many calls were waiting on the host"},
    Meaning{"stopping", "the host was about to stop"},
    Meaning{"unreachable",
            "the host reached no endpoint of the service, and no peer took the "
            "call; it did not run"},
    Meaning{"relay-refused",
            "the peer takes no relayed calls now, or not from this fleet; it "
            "did not run there"},
};

std::string_view FindMeaning(std::string_view failure) {
  const auto it = std::ranges::find(kMeanings, failure, &Meaning::failure);
  return it == kMeanings.end() ? std::string_view() : it->text;
}

std::string Timing(const LogLine& line) {
  std::string text = line.Value("total_ms") + " ms in all, " +
                     line.Value("at_endpoints_ms") + " ms at endpoints";
  const std::string age = line.Value("report_age_ms");
  const bool has_estimate = !age.empty() && age != "-1";
  if (has_estimate) {
    text += "; expected " + line.Value("expected_ms") +
            " ms by a report that was " + age + " ms old";
  }
  return text;
}

std::string Explain(const LogLine& line) {
  const std::string failure = line.Value("failure");
  const std::string endpoint = line.Value("endpoint");
  std::string text = "on " + line.host + ": ";
  if (failure.empty()) {
    text += "the endpoint's own answer " + line.Value("status");
  } else {
    text += failure;
    const std::string_view meaning = FindMeaning(failure);
    if (!meaning.empty()) {
      text += ": " + std::string(meaning);
    }
  }
  text += " (" + Timing(line) + ")";
  if (!endpoint.empty()) {
    text += "; sent " + line.Value("sends") + " times, last to " + endpoint;
  }
  if (line.Value("left_ms").starts_with('-')) {
    text += "; later than its objective";
  }
  return text;
}

bool IsRelay(const LogLine& line) {
  return line.event == "call-relayed" || line.event == "relay-taken";
}

std::string ExplainRelay(const LogLine& line) {
  const std::string text = "on " + line.host + ": ";
  if (line.event == "relay-taken") {
    return text + "taken from " + line.Value("from") + ", which relayed it";
  }
  return text + "offered to " + line.Value("peer") +
         ", because no endpoint of " + line.Value("service") +
         " had been reached for " + line.Value("unreachable_ms") + " ms";
}

// Returns whether a host's event is relevant to a call. Events that concern a
// single endpoint are relevant only for the call's endpoints, and "cold-send"
// only for the call itself.
bool IsRelevant(const LogLine& event,
                const std::string& call,
                const std::set<std::string>& endpoints) {
  if (event.event == "cold-send") {
    return event.Value("call") == call;
  }
  return event.event != "endpoint-state" ||
         endpoints.contains(event.Value("endpoint"));
}

}  // namespace

std::string LogLine::Value(const std::string& key) const {
  const std::string prefix = " " + key + "=";
  const std::size_t at = text.find(prefix);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + prefix.size();
  return text.substr(begin, text.find(' ', begin) - begin);
}

std::vector<LogLine> ReadLog(std::istream& in, const std::string& name) {
  std::vector<LogLine> lines;
  std::string host = name;
  for (std::string text; std::getline(in, text);) {
    const std::size_t event = text.find(kEvent);
    const std::size_t time = text.find('[');
    if (event == std::string::npos || time == std::string::npos) {
      continue;
    }
    LogLine line;
    line.time = text.substr(time + 1, text.find(']', time) - time - 1);
    line.text = text.substr(event);
    line.event =
        line.text.substr(kEvent.size(), line.text.find(' ') - kEvent.size());
    const std::string host_name = line.Value("host");
    if (!host_name.empty()) {
      host = host_name;
    }
    line.host = host;
    lines.push_back(std::move(line));
  }
  return lines;
}

CallExplanation ExplainCall(const std::string& call,
                            std::vector<LogLine> lines) {
  std::ranges::stable_sort(lines, {}, &LogLine::time);
  CallExplanation explanation;
  std::set<std::string> endpoints;
  std::map<std::string, std::string> last_line_times;
  for (const LogLine& it : lines) {
    const bool is_end = it.event == "call-ended";
    if ((!is_end && !IsRelay(it)) || it.Value("call") != call) {
      continue;
    }
    explanation.calls.push_back(it);
    explanation.explanations.push_back(is_end ? Explain(it) : ExplainRelay(it));
    if (is_end) {
      endpoints.insert(it.Value("endpoint"));
    }
    last_line_times[it.host] = it.time;
  }
  std::map<std::string, std::vector<LogLine>> prior_events;
  for (const LogLine& it : lines) {
    const auto last = last_line_times.find(it.host);
    if (it.event != "call-ended" && !IsRelay(it) &&
        last != last_line_times.end() && it.time <= last->second &&
        IsRelevant(it, call, endpoints)) {
      prior_events[it.host].push_back(it);
    }
  }
  for (auto& [host, list] : prior_events) {
    const std::size_t from =
        list.size() - std::min(list.size(), kMaxEventsPerHost);
    explanation.prior_events.insert(
        explanation.prior_events.end(),
        list.begin() + static_cast<std::ptrdiff_t>(from), list.end());
  }
  return explanation;
}

}  // namespace damasktack
