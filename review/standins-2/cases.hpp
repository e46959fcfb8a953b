#ifndef REVIEW_STANDINS_2_CASES_HPP_
#define REVIEW_STANDINS_2_CASES_HPP_

#include <functional>
#include <map>
#include <string>

#include "site.hpp"

namespace anvilcroft::review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Plays a case. `disrupted`: with its disruption. Returns one of the codes above.
using Case = std::function<int(Task&, Site&, bool disrupted)>;

std::map<std::string, Case> Cases();

}  // namespace anvilcroft::review

#endif  // REVIEW_STANDINS_2_CASES_HPP_
