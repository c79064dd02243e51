#ifndef MAGNOLIADOCK_QUEUES_H
#define MAGNOLIADOCK_QUEUES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     queues - the operators' configuration of a deployment's queues

   One table is one version of the configuration.  It is built once by its
   decoder and not changed afterwards.  */

typedef struct
{
  char *name;
  char *host;
  char *path_prefix;
  char *service;         /* pool of workers that runs the queue's tasks */
  uint32_t priority;     /* 0 goes first */
  uint32_t max_attempts; /* failed runs of a task before its job fails */
  double stretch;        /* objective as a multiple of the chain of work */
  int64_t target_ms;     /* added to the objective */
  int64_t timeout_ms;
  bool advised;          /* starts need a ticket of the advice service */
  double advice_ms;      /* duration of a call for advice ... */
  double advice_each_ms; /* ... and more for each worker named */
  int64_t ticket_life_ms;
} queue_t;

typedef struct
{
  uint64_t version;
  GPtrArray *queues;   /* queue_t, owned */
  GPtrArray *services; /* char *, owned: names of the pools of workers */
} queue_table_t;

queue_table_t *queue_table_new (uint64_t version);
void queue_table_free (queue_table_t *table);

queue_t *queue_new (void);
void queue_free (queue_t *queue);
queue_t *queue_copy (const queue_t *queue);

/* Returns the queue of HOST (a port is ignored) with the longest prefix of
   PATH and sets *REST to what follows the prefix; NULL if there is none.  */
const queue_t *queue_table_match (const queue_table_t *table, const char *host,
                                  const char *path, const char **rest);

#endif
