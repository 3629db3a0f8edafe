// Compiles Boost.JSON, whose sources Debian ships as headers. Only this file may include src.hpp.
#include <boost/json/src.hpp>
