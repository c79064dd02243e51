#include "entry.h"
#include "jobs.h"
#include "ops.h"
#include "shares.h"

const entry_part_t *const entry_parts[] = {
  &ops_part,
  &shares_part,
  &jobs_part,
  NULL,
};
