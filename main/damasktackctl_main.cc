#include <iostream>
#include <string>

#include "main/ctl.h"

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  return damasktack::RunCtl(args, std::cout, std::cerr);
}
