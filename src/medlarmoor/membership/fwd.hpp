#ifndef MEDLARMOOR_MEMBERSHIP_FWD_HPP
#define MEDLARMOOR_MEMBERSHIP_FWD_HPP

#include <memory>

namespace medlarmoor::membership {

enum class MemberState : unsigned char;
struct Member;
class View;
using ViewPtr = std::shared_ptr<const View>;

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_FWD_HPP
