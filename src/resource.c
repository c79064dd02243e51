#include "resource.h"

#define ACCELERATOR_CORES 8

bool
resource_negative (resource_t r)
{
  return r.cpu_millis < 0 || r.memory_mib < 0 || r.accelerators < 0;
}

static double
larger_ratio (double largest, int64_t used, int64_t total)
{
  if (total <= 0)
    return largest;
  double ratio = (double)used / (double)total;
  return ratio > largest ? ratio : largest;
}

double
resource_dominant_share (resource_t used, resource_t total)
{
  double share = larger_ratio (0.0, used.cpu_millis, total.cpu_millis);
  share = larger_ratio (share, used.memory_mib, total.memory_mib);
  return larger_ratio (share, used.accelerators, total.accelerators);
}

double
resource_cores (resource_t r)
{
  return (double)r.cpu_millis / 1000.0
         + (double)r.accelerators * ACCELERATOR_CORES;
}
