#include "entry.h"
#include "jobs.h"
#include "admin.h"
#include "shares.h"

const entry_part_t *const entry_parts[] = {
  &admin_part,
  &shares_part,
  &jobs_part,
  NULL,
};
