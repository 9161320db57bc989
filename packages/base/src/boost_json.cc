// Compiles Boost.JSON from its headers, since Debian's package of the headers
// does not include the library.

#include <boost/json/src.hpp>
