#ifndef MAGNOLIADOCK_FAKE_ROWS_H
#define MAGNOLIADOCK_FAKE_ROWS_H

#include "node_internal.h"

/* NAME
     fake_rows - the platform's store in memory, for nodes without their loops

   A call is carried out when the test delivers it, so a test chooses the order
   in which calls of several nodes reach the store.  The platform of each node
   and the requests of its callers belong to the test.  */

/* What happens to a call.  */
typedef enum
{
  DELIVERED,
  ANSWER_LOST,      /* carried out; the caller learns nothing */
  CARRIED_OUT_LATE, /* the caller learns nothing; carried out with a later
                       fake_rows_deliver_late */
  REFUSED           /* not carried out, as while the store is away */
} fake_delivery_t;

typedef struct
{
  GHashTable *rows; /* "TABLE PART KEY" -> row, owned */
  GPtrArray *calls; /* that wait, owned */
  GPtrArray *late;  /* to be carried out later, owned */
  uint64_t version;
  /* Defects, to show that a test notices their effect; NULL: none.  */
  const char *unchecked_table; /* what transactions expect of its rows is not
                                  checked */
  const char *hidden_table;    /* reads find no rows in it */
} fake_rows_t;

typedef struct
{
  platform_api_t platform; /* first */
  fake_rows_t *rows;
} fake_site_t;

/* A request of a caller and its answer.  */
typedef struct
{
  uint32_t answers;
  err_kind_t kind; /* ERR_OK: answered as asked */
  char state[16];
  uint32_t pending;
  bool no_job;
} fake_caller_t;

void fake_rows_init (fake_rows_t *rows);
void fake_rows_clear (fake_rows_t *rows);

/* A node named NAME on ROWS with CLOCK, without peers.  */
void fake_site_init (fake_site_t *site, node_t *node, fake_rows_t *rows,
                     const char *name, const clk_t *clock);
void fake_site_clear (node_t *node);

/* Puts a configuration into force at NODE with the queue "queue" to SERVICE;
   NULL: without it.  */
void fake_site_route (node_t *node, const char *service);

/* Ends the waiting call at INDEX.  */
void fake_rows_deliver (fake_rows_t *rows, guint index,
                        fake_delivery_t delivery);
/* Whether the waiting call at INDEX reads TABLE.  */
bool fake_rows_reads (const fake_rows_t *rows, guint index, const char *table);
/* Delivers calls until none waits.  */
void fake_rows_settle (fake_rows_t *rows);
/* Carries out the calls that are late.  */
void fake_rows_deliver_late (fake_rows_t *rows);

/* NULL: absent.  */
const char *fake_rows_get (const fake_rows_t *rows, const char *table,
                           const char *part, const char *key);
/* VALUE NULL: removes the row.  */
void fake_rows_put (fake_rows_t *rows, const char *table, const char *part,
                    const char *key, const char *value);

#endif
