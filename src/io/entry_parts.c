#include "entry.h"
#include "shares.h"

const entry_part_t *const entry_parts[] = {
  &shares_part,
  NULL,
};
