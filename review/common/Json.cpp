// Compiles Boost.JSON, whose headers the stand-ins include.
#include <boost/json/src.hpp>
