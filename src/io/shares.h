#ifndef MAGNOLIADOCK_SHARES_H
#define MAGNOLIADOCK_SHARES_H

#include "entry.h"

/* NAME
     shares - synchronises dispatch's slot ledger with the row shares/ZONE

   Reads the row from the table service when dispatch says that it is due
   (checked once a second) and after each write, reports to dispatch which
   entries named in it are gone, and writes what dispatch proposes, on
   condition that the row still has the version that the proposal is based on.
   A lost reply to a write needs no special handling: the row is read again,
   and the next proposal starts from it.  */

extern const entry_part_t shares_part;

#endif
