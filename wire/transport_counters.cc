#include "wire/transport_counters.h"
