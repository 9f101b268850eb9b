#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

// Excludes the cases listed in KNOWN-RED.txt, which misc/scripts/run_tests.py
// passes in this variable, so that one list applies to all test programs.
int main(int argc, char** argv) {
  doctest::Context context;
  const char* known_red = std::getenv("DAMASKTACK_KNOWN_RED");
  if (known_red != nullptr) {
    context.addFilter("test-case-exclude", known_red);
  }
  context.applyCommandLine(argc, argv);
  return context.run();
}
