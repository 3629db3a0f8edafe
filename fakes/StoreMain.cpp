// Program fake-store.
#include "FakeMain.h"
#include "FakeStore.h"

using namespace tray;

int main(int argc, char **argv)
{
    return fakes::runFake<proto::FakeStoreSettings>(
        argc, argv, "fake-store", "Stand-in for the weight store",
        +[](const proto::FakeStoreSettings &settings) -> const std::string & {
            return settings.store().listen();
        },
        [](auto &context, const auto &settings) {
            return std::make_unique<fakes::FakeStore>(context, settings.store());
        });
}
