#ifndef MAIN_MANUAL_PAGE_H_
#define MAIN_MANUAL_PAGE_H_

#include <ostream>

namespace damasktack {

// Print the manual pages in troff, generated from the tables of commands,
// options and settings; docs/man holds their output.
void PrintToolManual(std::ostream& out);
void PrintDaemonManual(std::ostream& out);

}  // namespace damasktack

#endif  // MAIN_MANUAL_PAGE_H_
