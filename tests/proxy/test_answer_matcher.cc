#include "proxy/answer_matcher.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace damasktack {
namespace {

using Kind = ExpectedAnswer::Kind;

// An answer on its way, with the facts that a host cannot see.
struct SentAnswer {
  std::string call;
  bool names_endpoint = false;
  bool has_load_report = false;
  bool is_refusal = false;

  AnswerTraits Traits() const {
    AnswerTraits traits;
    traits.call = call;
    traits.names_endpoint = names_endpoint;
    traits.has_load_report = has_load_report;
    traits.is_refusal = is_refusal;
    return traits;
  }
};

// One connection: what the host knows of it, and the answers that the endpoint
// has sent and the host has not read.
struct Connection {
  AnswerMatcher matcher;
  std::deque<SentAnswer> unread;
  // The answers that the endpoint may send again.
  std::vector<SentAnswer> sent;
  bool is_open = true;
};

enum class Result { kAnswered, kRefused, kUnknown };

// An endpoint that repeats its answers at will, and a host that decides by
// AnswerMatcher alone.
class Exchange {
 public:
  explicit Exchange(bool reports_load) : reports_load_(reports_load) {}

  // Sends a call that must not run twice, again after each refusal.
  void SendUnsafe(const std::string& call) {
    int runs = 0;
    bool is_refused = true;
    for (int n = 0; n < 3 && is_refused; ++n) {
      bool ran = false;
      const Result result = Send({Kind::kNamedCall, call}, ran);
      runs += ran ? 1 : 0;
      is_refused = result == Result::kRefused;
      RC_ASSERT(!(is_refused && ran));
      RC_ASSERT(!(result == Result::kAnswered && !ran));
    }
    RC_ASSERT(runs <= 1);
  }
  void SendSafe(const std::string& call) {
    bool ran = false;
    const Result result = Send({Kind::kNamedCall, call}, ran);
    RC_ASSERT(!(result == Result::kRefused && ran));
    RC_ASSERT(!(result == Result::kAnswered && !ran));
  }
  void SendProbe() {
    bool ran = false;
    Send({Kind::kProbe, ""}, ran);
  }

 private:
  // The connections that the pool would allow.
  Connection& Choose(const ExpectedAnswer& expected) {
    const bool is_new = *rc::gen::inRange(0, 4) == 0;
    for (Connection& it : connections_) {
      if (!is_new && it.is_open && it.matcher.is_settled() &&
          (it.matcher.is_certain() || expected.kind == Kind::kProbe) &&
          !it.matcher.HasCarried(expected.call)) {
        return it;
      }
    }
    return connections_.emplace_front();
  }

  SentAnswer AnswerTo(const ExpectedAnswer& expected, bool& ran) {
    const bool is_probe = expected.kind == Kind::kProbe;
    SentAnswer answer;
    answer.is_refusal =
        !(is_probe && reports_load_) && *rc::gen::inRange(0, 2) == 0;
    ran = !answer.is_refusal;
    const bool names_call = ran || *rc::gen::arbitrary<bool>();
    answer.call = names_call ? expected.call : "";
    answer.names_endpoint = is_probe && ran && *rc::gen::inRange(0, 4) > 0;
    answer.has_load_report = reports_load_;
    return answer;
  }

  static void Repeat(Connection& on) {
    if (!on.sent.empty() && *rc::gen::inRange(0, 3) == 0) {
      on.unread.push_back(
          on.sent[*rc::gen::inRange<std::size_t>(0, on.sent.size())]);
    }
    if (*rc::gen::inRange(0, 16) == 0) {
      on.unread.push_back({"foreign", false, false, true});
    }
  }

  Result Send(const ExpectedAnswer& expected, bool& ran) {
    Connection& on = Choose(expected);
    on.matcher.Expect(expected);
    Repeat(on);
    const SentAnswer own = AnswerTo(expected, ran);
    on.unread.push_back(own);
    Repeat(on);
    on.sent.push_back(own);
    while (!on.unread.empty()) {
      const SentAnswer read = on.unread.front();
      on.unread.pop_front();
      const AnswerMatch match = on.matcher.Match(read.Traits());
      if (match == AnswerMatch::kOwn) {
        return read.is_refusal ? Result::kRefused : Result::kAnswered;
      }
      if (match == AnswerMatch::kUnattributable) {
        break;
      }
    }
    on.is_open = false;
    return Result::kUnknown;
  }

  const bool reports_load_;
  std::deque<Connection> connections_;
};

// Guards against a request that is refused as not run, or sent again, because
// an answer to another request was taken for its refusal. Each answer, also one
// without a call id, may be repeated at any later time.
TEST_CASE("no order of late, repeated and foreign answers hides a run") {
  CHECK(rc::check("interleaving", [] {
    Exchange exchange(*rc::gen::arbitrary<bool>());
    const auto steps =
        *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 4));
    int n = 0;
    for (const int it : steps) {
      const std::string call = "c" + std::to_string(n++);
      if (it == 0) {
        exchange.SendProbe();
      } else if (it == 1) {
        exchange.SendSafe(call);
      } else {
        exchange.SendUnsafe(call);
      }
    }
  }));
}

AnswerMatch Ask(AnswerMatcher& matcher,
                const ExpectedAnswer& expected,
                const AnswerTraits& answer) {
  matcher.Expect(expected);
  return matcher.Match(answer);
}

// Guards against new connections for each call that must not run twice: probes
// that name the endpoint and report its load do not spoil a connection.
TEST_CASE("attributable answers keep a connection usable for every call") {
  AnswerMatcher matcher;
  CHECK(Ask(matcher, {Kind::kNamedCall, "a"}, {.call = "a"}) ==
        AnswerMatch::kOwn);
  CHECK(Ask(matcher, {Kind::kNamedCall, "b"},
            {.call = "b", .is_refusal = true}) == AnswerMatch::kOwn);
  CHECK(Ask(matcher, {Kind::kProbe},
            {.names_endpoint = true, .has_load_report = true}) ==
        AnswerMatch::kOwn);
  CHECK(matcher.is_certain());
  CHECK(matcher.is_settled());
  CHECK(matcher.HasCarried("b"));
  CHECK(!matcher.HasCarried("c"));
  // A refusal without an id counts here, because nothing else can be
  // outstanding. Later ones could be copies of it.
  CHECK(Ask(matcher, {Kind::kNamedCall, "c"}, {.is_refusal = true}) ==
        AnswerMatch::kOwn);
  CHECK(!matcher.is_certain());
  CHECK(Ask(matcher, {Kind::kNamedCall, "d"}, {.is_refusal = true}) ==
        AnswerMatch::kUnattributable);
}

TEST_CASE("an answer is attributed by the kind of its request") {
  const auto match = [](const ExpectedAnswer& expected,
                        const AnswerTraits& answer) {
    AnswerMatcher matcher;
    return Ask(matcher, expected, answer);
  };
  const AnswerTraits probed{.names_endpoint = true, .has_load_report = true};
  CHECK(match({Kind::kProbe}, {.call = "a"}) == AnswerMatch::kOther);
  CHECK(match({Kind::kProbe}, {.is_refusal = true}) == AnswerMatch::kOwn);
  CHECK(match({Kind::kNamedCall, "a"}, probed) == AnswerMatch::kOther);
  CHECK(match({Kind::kNamedCall, "a"}, {.call = "b", .is_refusal = true}) ==
        AnswerMatch::kOther);
  CHECK(match({Kind::kNamedCall, "a"}, {}) == AnswerMatch::kUnattributable);
  // An endpoint that refuses a call meant for another may name itself.
  CHECK(match({Kind::kNamedCall, "a"}, {.names_endpoint = true,
                                        .is_refusal = true,
                                        .is_misdirected = true}) ==
        AnswerMatch::kOwn);
  CHECK(match({Kind::kUnnamedCall}, {.call = "a"}) == AnswerMatch::kOther);
  CHECK(match({Kind::kUnnamedCall}, {}) == AnswerMatch::kOwn);
  CHECK(match({Kind::kNextAnswer}, {.call = "a"}) == AnswerMatch::kOwn);
}

}  // namespace
}  // namespace damasktack
