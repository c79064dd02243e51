#ifndef MAGNOLIADOCK_SHARES_H
#define MAGNOLIADOCK_SHARES_H

#include "entry.h"

/* NAME
     shares - keeps dispatch's slot ledger and the row shares/ZONE in step

   Reads the row once a second, tells dispatch which members of it are gone,
   and writes what dispatch proposes with a check of the version it is based
   on.  A lost reply needs no care of its own: the row is read back and the
   next proposal starts from it.  */

extern const entry_part_t shares_part;

#endif
