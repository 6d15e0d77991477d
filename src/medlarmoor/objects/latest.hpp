#ifndef MEDLARMOOR_OBJECTS_LATEST_HPP
#define MEDLARMOOR_OBJECTS_LATEST_HPP

#include <medlarmoor/objects/stored_item.hpp>

#include <algorithm>
#include <string>
#include <unordered_set>
#include <vector>

namespace medlarmoor::objects {

/// Returns the last event of each object, in the order of Events. Only the last
/// one describes the current state of its object, which may be deleted and
/// created again between two calls.
template <typename Item>
[[nodiscard]] std::vector<StoredItem<Item>>
latest(std::vector<StoredItem<Item>> Events) {
  std::unordered_set<std::string> Names;
  std::vector<StoredItem<Item>> Latest;
  for (auto Event = Events.rbegin(); Event != Events.rend(); ++Event)
    if (Names.insert(Event->Name_).second)
      Latest.push_back(std::move(*Event));
  std::reverse(Latest.begin(), Latest.end());
  return Latest;
}

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_LATEST_HPP
