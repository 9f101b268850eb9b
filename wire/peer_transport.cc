#include "wire/peer_transport.h"
