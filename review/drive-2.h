#ifndef REVIEW_DRIVE_H
#define REVIEW_DRIVE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* NAME
     drive - starts the nodes and the stand-in of a case, and talks to them

   Every node reaches the store through a proxy of its own, which can delay
   each request and each answer.  All addresses are loopback addresses; the
   ports are free ones.  Whatever was started ends with drive_end.  */

#define DRIVE_MAX_NODES 4u

typedef struct
{
  int status; /* 0: no answer */
  char *body; /* "" without an answer; owned by the caller */
} drive_answer_t;

/* Whether the case is played with its disruption.  */
bool drive_trouble (void);
int64_t drive_now_ms (void);
void drive_sleep_ms (int64_t ms);
/* Appends a line to the record.  */
void drive_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/* Ends what was started, and the process: 0 the rule held, 1 it was broken, 2
   the case could not run.  */
void drive_end (int status) __attribute__ ((noreturn));

/* Starts the stand-in with WORKERS workers, which SERVICES services share, and
   NODES nodes.  Returns once all nodes are ready.  FOLDER: of the record.  */
void drive_start (const char *folder, uint32_t workers, uint32_t services,
                  uint32_t nodes);
/* SIGKILL, or a start after that.  */
void drive_kill_node (uint32_t node);
void drive_restart_node (uint32_t node);
/* Lets the store take FACTOR times as long; 0: as usual.  */
void drive_slow_store (int64_t factor);

/* A call of a client at NODE (from 0).  PATH begins behind the prefix of the
   queue.  GIVE_UP_MS: the client closes the connection then.  */
drive_answer_t drive_call (uint32_t node, const char *method, const char *id,
                           const char *body, int64_t give_up_ms);
/* A call to the store and the control of the stand-in, without delay.  */
drive_answer_t drive_store_call (const char *method, const char *target,
                                 const char *body);
/* A figure of the stand-in: "starts", "running", "violations".  */
int64_t drive_figure (const char *name);
/* The index of the node that owns the cell by its heartbeat row; -1: none.  */
int drive_owner (void);
/* Decodes a base64 text; the caller frees it.  */
char *drive_decode (const char *base64);
/* Number of lines of the record that contain TEXT.  */
uint32_t drive_count_lines (const char *text);
/* Copies the last line of the record that contains TEXT.  */
bool drive_last_line (const char *text, char *line, size_t size);

#endif
