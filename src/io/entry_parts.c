#include "entry.h"

const entry_part_t *const entry_parts[] = {
  NULL,
};
