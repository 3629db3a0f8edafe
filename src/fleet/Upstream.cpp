// Finds models and adapters among those that an engine holds.
#include "fleet/Upstream.h"

#include <algorithm>

namespace tray {

const HeldModel *findHeldModel(const std::vector<HeldModel> &models, std::string_view name)
{
    const auto found = std::find_if(models.begin(), models.end(),
                                    [&](const HeldModel &model) { return model.name == name; });
    return found == models.end() ? nullptr : &*found;
}

bool isHeld(const std::vector<HeldModel> &models, std::string_view model, std::string_view adapter)
{
    const auto *held = findHeldModel(models, model);
    if (held == nullptr)
        return false;
    return adapter.empty() ||
           std::find(held->adapters.begin(), held->adapters.end(), adapter) != held->adapters.end();
}

} // namespace tray
