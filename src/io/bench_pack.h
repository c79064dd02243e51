#ifndef MAGNOLIADOCK_BENCH_PACK_H
#define MAGNOLIADOCK_BENCH_PACK_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     bench_pack - the packing rules on the worker shapes of both deployments */

/* Prints a table unless QUIET; returns the same figures.  */
json_t *bench_pack (bool quiet, uint32_t runs, uint32_t seed);

#endif
