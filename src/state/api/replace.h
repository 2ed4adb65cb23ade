#ifndef STATE_API_REPLACE_H_
#define STATE_API_REPLACE_H_

#include <utility>

namespace gooseberrygap::state {

// Puts `value` under `key` in place of any earlier value. Value types have
// const members, so a map cannot assign over them. Not thread-safe.
template <class Map, class Key, class Value>
void Replace(Map* map, const Key& key, Value&& value) {
  map->erase(key);
  map->emplace(key, std::forward<Value>(value));
}

}  // namespace gooseberrygap::state

#endif  // STATE_API_REPLACE_H_
