#define BOOST_TEST_MODULE hickorylift
#include <boost/test/unit_test.hpp>
