#ifndef STATE_API_REPLACE_H_
#define STATE_API_REPLACE_H_

#include <utility>

namespace gooseberrygap::state {

// Stores `value` under `key`, replacing any earlier value. Erases and inserts,
// because value types have const members and cannot be assigned. Not
// thread-safe.
template <class Map, class Key, class Value>
void Replace(Map* map, const Key& key, Value&& value) {
  map->erase(key);
  map->emplace(key, std::forward<Value>(value));
}

}  // namespace gooseberrygap::state

#endif  // STATE_API_REPLACE_H_
