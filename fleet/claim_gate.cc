#include "fleet/claim_gate.h"
