// Program fake-service.
#include "FakeMain.h"
#include "FakeService.h"

#include <cstdlib>

using namespace tray;

int main(int argc, char **argv)
{
    return fakes::runFake<proto::FakeServiceSettings>(
        argc, argv, "fake-service", "Stand-in for a plain service",
        +[](const proto::FakeServiceSettings &settings) -> const std::string & {
            return settings.service().listen();
        },
        [](auto &context, const auto &settings) {
            return std::make_unique<fakes::FakeService>(context, settings.service(),
                                                        [] { std::_Exit(3); });
        });
}
