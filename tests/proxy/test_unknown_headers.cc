#include "proxy/unknown_headers.h"

#include <doctest/doctest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>

namespace damasktack {
namespace {

// Returns what is logged for the answer at the given level.
std::string Logged(const HttpResponse& answer,
                   spdlog::level::level_enum level) {
  std::ostringstream out;
  const auto before = spdlog::default_logger();
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
      "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(out)));
  spdlog::set_level(level);
  LogUnknownHeaders(answer, ProtocolNames());
  LogUnknownHeaders(answer, ProtocolNames());
  spdlog::set_default_logger(before);
  return out.str();
}

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t n = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++n;
  }
  return n;
}

// Guards against endpoint headers that are ignored without a trace.
TEST_CASE("an unknown endpoint header is logged once") {
  HttpResponse answer(http::status::ok, 11);
  answer.set("Endpoint-Wish", "less");
  answer.set("Endpoint-Load", "in_flight=0, queued=0, slots=4, mode=serving");
  answer.set("Content-Type", "text/plain");
  CHECK(Logged(answer, spdlog::level::info).empty());
  const std::string text = Logged(answer, spdlog::level::debug);
  CHECK(Count(text, "unknown-endpoint-header") == 1);
  CHECK(Count(text, "name=Endpoint-Wish value=\"less\"") == 1);
}

}  // namespace
}  // namespace damasktack
