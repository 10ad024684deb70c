/// The definitions of Boost.JSON, which is used by its headers alone.
#include <boost/json/src.hpp>
