#include <iostream>

#include "ctl/tool.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(
      gooseberrygap::ctl::RunTool(arguments, &std::cout, &std::cerr));
}
