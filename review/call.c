/* One HTTP call of a client, the operator or a case's script.

   Usage: call METHOD ADDRESS:PORT PATH HOST [BODY [X-REQUEST-DEADLINE]]

   Prints the status and the body on one line; the status is 000 if no whole
   answer came within 3.5 s.  */

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define ANSWER_BYTES (1024 * 1024)

static char answer[ANSWER_BYTES + 1];

int
main (int argc, char **argv)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  struct timeval limit = { 3, 500000 };
  char ip[32] = "";
  if (argc < 5 || sscanf (argv[2], "%31[^:]", ip) != 1
      || strchr (argv[2], ':') == NULL
      || inet_pton (AF_INET, ip, &to.sin_addr) != 1)
    {
      fprintf (stderr, "usage: call METHOD IP:PORT PATH HOST [BODY]\n");
      return 2;
    }
  to.sin_port = htons ((unsigned short)atoi (strchr (argv[2], ':') + 1));
  const char *body = argc > 5 ? argv[5] : "";
  size_t size = strlen (body) + strlen (argv[3]) + strlen (argv[4]) + 512;
  char *request = malloc (size);
  int length = snprintf (request, size,
                         "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
                         "X-Request-Deadline: 3000\r\n"
                         "Content-Type: application/json\r\n"
                         "Content-Length: %zu\r\n\r\n%s",
                         argv[1], argv[3], argv[4], strlen (body), body);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  size_t got = 0;
  ssize_t part = 1;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) == 0
      && send (fd, request, (size_t)length, MSG_NOSIGNAL) == length)
    while (got < ANSWER_BYTES
           && (part = recv (fd, answer + got, ANSWER_BYTES - got, 0)) > 0)
      got += (size_t)part;
  answer[got] = '\0';
  char *text = strstr (answer, "\r\n\r\n");
  if (part != 0 || text == NULL || got < 12)
    printf ("000\n");
  else
    printf ("%.3s %s\n", answer + 9, text + 4);
  close (fd);
  free (request);
  return 0;
}
