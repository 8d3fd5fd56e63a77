#include <iostream>

#include "cassiabend/base/log.h"
#include "cassiabend/ctl/ctl.h"

int main(int argc, char** argv) {
  cassiabend::InitializeLog("cassiabend-ctl", cassiabend::LogLevel::kWarning);
  return cassiabend::RunCtl(argc, argv, {std::cin, std::cout, std::cerr});
}
