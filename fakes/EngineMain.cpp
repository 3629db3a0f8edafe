// Program fake-engine.
#include "FakeEngine.h"
#include "FakeMain.h"

#include <cstdlib>

using namespace tray;

int main(int argc, char **argv)
{
    return fakes::runFake<proto::FakeEngineSettings>(
        argc, argv, "fake-engine", "Stand-in for an engine",
        +[](const proto::FakeEngineSettings &settings) -> const std::string & {
            return settings.engine().listen();
        },
        [](auto &context, const auto &settings) {
            return std::make_unique<fakes::FakeEngine>(context, settings.engine(),
                                                       [] { std::_Exit(3); });
        });
}
