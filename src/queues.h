#ifndef MAGNOLIADOCK_QUEUES_H
#define MAGNOLIADOCK_QUEUES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     queues - configuration of a deployment's queues, set by its operators

   A table is one version of the configuration.  It is built by the decoder and
   not changed afterwards.  */

typedef struct
{
  char *name;
  char *host;
  char *path_prefix;
  char *service;         /* worker pool that runs the queue's tasks */
  uint32_t priority;     /* 0 is the highest */
  uint32_t max_attempts; /* failed runs of a task before its job fails */
  double stretch;        /* objective of a job: this many times the length of
                            its critical path ... */
  int64_t target_ms;     /* ... plus this */
  int64_t timeout_ms;    /* as configured; not used */
  bool advised;          /* starts need a ticket of the advice service */
  double advice_ms;      /* expected duration of a call for advice ... */
  double advice_each_ms; /* ... plus this for each worker named */
  int64_t ticket_validity_ms;
} queue_t;

typedef struct
{
  uint64_t version;
  GPtrArray *queues;     /* queue_t, owned */
  GPtrArray *unreadable; /* the same; of each only host and path_prefix could
                            be read */
  GPtrArray *services;   /* char *, owned: names of the worker pools */
} queue_table_t;

queue_table_t *queue_table_new (uint64_t version);
void queue_table_free (queue_table_t *table);

queue_t *queue_new (void);
void queue_free (queue_t *queue);
queue_t *queue_copy (const queue_t *queue);

/* Returns the queue of HOST (a port is ignored) whose path prefix is the
   longest that matches PATH, and sets *REST to what follows the prefix; NULL
   if there is none.  Sets *UNREADABLE if there is one and it could not be
   read; NULL is returned then too.  */
const queue_t *queue_table_match (const queue_table_t *table, const char *host,
                                  const char *path, const char **rest,
                                  bool *unreadable);

#endif
