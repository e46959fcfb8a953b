#include <iostream>

#include "anvilcroft/command.h"

int main(int argc, char** argv) {
  return anvilcroft::RunProgram({argv + 1, argv + argc}, std::cout, std::cerr);
}
