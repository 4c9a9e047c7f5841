// Boost.JSON and the rest of its compiled part, built into this library once.
#include <boost/json/src.hpp>
