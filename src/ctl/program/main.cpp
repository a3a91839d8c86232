#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_client.hpp>

#include <ctl/command.hpp>

#include <fmt/format.h>
#include <openssl/rand.h>

#include <cstdio> // stderr, stdout
#include <cstdlib> // getenv
#include <fstream> // ifstream
#include <iostream> // cin
#include <iterator> // istreambuf_iterator

namespace {

using namespace gypsumdale;

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    if (file.bad() || !file.is_open())
        return Error{ErrorId::SettingsUnreadable, fmt::format("can't read {}", path)};
    return text;
}

std::string readInput()
{
    return {std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>()};
}

std::optional<std::string> environment(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    if (value == nullptr)
        return std::nullopt;
    return value;
}

std::string randomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    auto *begin = reinterpret_cast<unsigned char *>(bytes.data());
    return RAND_bytes(begin, static_cast<int>(count)) == 1 ? bytes : std::string();
}

void print(std::string_view text)
{
    fmt::print(stdout, "{}", text);
    std::fflush(stdout);
}

ctl::Environment makeSurroundings(const Clock &clock, HttpClient &client)
{
    ctl::Environment surroundings;
    surroundings.m_print = print;
    surroundings.m_printError = [](std::string_view text) {
        fmt::print(stderr, "{}", text);
    };
    surroundings.m_readFile = readFile;
    surroundings.m_readInput = readInput;
    surroundings.m_environment = environment;
    surroundings.m_randomBytes = randomBytes;
    surroundings.m_now = [&clock] {
        return clock.now();
    };
    surroundings.m_pause = sleepFiber;
    surroundings.m_transport = [&client](const HttpCall &call) {
        return client.call(call);
    };
    return surroundings;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const Clock clock;
    FiberLoop loop("gypsumctl");
    loop.start();
    const ctl::ExitCode code = loop.call([&] {
        HttpClient client(loop);
        return ctl::runTool(arguments, makeSurroundings(clock, client));
    });
    loop.stop();
    return static_cast<int>(code);
}
