// The one translation unit that compiles Boost.JSON, which Debian ships as headers.
#include <boost/json/src.hpp>
