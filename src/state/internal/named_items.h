#ifndef STATE_INTERNAL_NAMED_ITEMS_H_
#define STATE_INTERNAL_NAMED_ITEMS_H_

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "state/api/configuration.h"

namespace gooseberrygap::state {

// Lists of items that are identified by their names: services, routes and
// tenants. All functions are thread-safe.

template <class Item>
const std::string& NameOfItem(const Item& item) {
  return item.name_;
}
template <class Item>
const std::string& NameOfItem(const Shared<Item>& item) {
  return item->name_;
}

// Returns the items by name; valid while `items` is unchanged.
template <class Item>
absl::flat_hash_map<absl::string_view, const Item*> IndexByName(
    const std::vector<Item>& items) {
  absl::flat_hash_map<absl::string_view, const Item*> index;
  index.reserve(items.size());
  for (const Item& item : items) {
    index.emplace(NameOfItem(item), &item);
  }
  return index;
}

// Returns `base` with items removed, replaced in their place, and appended.
template <class Item>
std::vector<Item> ApplyItemChanges(
    const std::vector<Item>& base,
    const std::vector<Item>& changes,
    const std::vector<std::string>& removed_names) {
  const absl::flat_hash_set<absl::string_view> removed(removed_names.begin(),
                                                       removed_names.end());
  const auto changed = IndexByName(changes);
  const auto known = IndexByName(base);
  std::vector<Item> items;
  items.reserve(base.size() + changes.size());
  for (const Item& item : base) {
    const auto change = changed.find(NameOfItem(item));
    if (change != changed.end()) {
      items.push_back(*change->second);
    } else if (!removed.contains(NameOfItem(item))) {
      items.push_back(item);
    }
  }
  for (const Item& change : changes) {
    if (!known.contains(NameOfItem(change))) {
      items.push_back(change);
    }
  }
  return items;
}

// Returns the items of `newer` that `base` does not have, or has with other
// content.
template <class Item>
std::vector<Item> ChangedItems(const std::vector<Item>& base,
                               const std::vector<Item>& newer) {
  const auto known = IndexByName(base);
  std::vector<Item> changed;
  for (const Item& item : newer) {
    const auto old = known.find(NameOfItem(item));
    if (old == known.end() || !(*old->second == item)) {
      changed.push_back(item);
    }
  }
  return changed;
}

// Returns the names of the items of `base` that `newer` does not have.
template <class Item>
std::vector<std::string> RemovedNames(const std::vector<Item>& base,
                                      const std::vector<Item>& newer) {
  const auto kept = IndexByName(newer);
  std::vector<std::string> removed;
  for (const Item& item : base) {
    if (!kept.contains(NameOfItem(item))) {
      removed.push_back(NameOfItem(item));
    }
  }
  return removed;
}

}  // namespace gooseberrygap::state

#endif  // STATE_INTERNAL_NAMED_ITEMS_H_
