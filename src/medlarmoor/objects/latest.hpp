#ifndef MEDLARMOOR_OBJECTS_LATEST_HPP
#define MEDLARMOOR_OBJECTS_LATEST_HPP

#include <medlarmoor/objects/stored_item.hpp>

#include <algorithm>
#include <string>
#include <unordered_set>
#include <vector>

namespace medlarmoor::objects {

/// Of several events about one object only the last tells what it is now: an
/// object may be deleted and created again between two calls.
template <typename Item>
[[nodiscard]] std::vector<StoredItem<Item>>
latest(std::vector<StoredItem<Item>> Events) {
  std::unordered_set<std::string> Seen;
  std::vector<StoredItem<Item>> Out;
  for (auto Each = Events.rbegin(); Each != Events.rend(); ++Each)
    if (Seen.insert(Each->Name_).second)
      Out.push_back(std::move(*Each));
  std::reverse(Out.begin(), Out.end());
  return Out;
}

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_LATEST_HPP
