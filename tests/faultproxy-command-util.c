/* faultproxy-command-util.c -- the commands of the fault proxy

   A table maps the first word to a function. The functions change routes and
   connections only; the loop acts on the change in its next round. */

#include "faultproxy.h"

typedef struct
{
  char *words[MAX_WORDS]; /* command and arguments */
  int n;                  /* of these, present */
} Command;

typedef struct
{
  const char *name; /* first word */
  int least;        /* words, with the name */
  int most;         /* words, with the name */
  /* Returns an error text or NULL; may append lines to the answer. */
  const char *(*run) (Proxy *proxy, const Command *command, MdBuf *answer);
} CommandType;

static const char no_route[] = "no such route or connection";
static const char bad_direction[] = "direction must be up, down or both";
static const char bad_address[] = "address must be IP:PORT";

static bool
names_route (const char *where, const Route *route)
{
  size_t len = strcspn (where, "#");

  return strcmp (where, "*") == 0
         || (strlen (route->name) == len && memcmp (where, route->name, len) == 0);
}

static bool
names_conn (const char *where, const Conn *conn)
{
  const char *number = strchr (where, '#');

  return names_route (where, conn->route)
         && (number == NULL || strtoul (number + 1, NULL, 10) == conn->number);
}

static int
parse_direction (const char *word)
{
  static const char *const names[] = { "up", "down", "both" };

  for (int dir = UP; dir <= BOTH; dir++)
    if (strcmp (word, names[dir]) == 0)
      return dir;
  return -1;
}

/* Calls change for the faults of each named route and direction. */
static const char *
change_faults (Proxy *proxy, const Command *command,
               void (*change) (Faults *faults, const Command *command))
{
  int dir = parse_direction (command->words[2]);
  bool found = false;

  if (dir < 0)
    return bad_direction;
  for (size_t i = 0; i < proxy->n_routes; i++)
    {
      Route *route = proxy->routes[i];

      if (!names_route (command->words[1], route))
        continue;
      found = true;
      if (dir != DOWN)
        change (&route->faults[UP], command);
      if (dir != UP)
        change (&route->faults[DOWN], command);
    }
  return found ? NULL : no_route;
}

static MdTime
word_ms (const Command *command, int i)
{
  return i < command->n ? strtol (command->words[i], NULL, 10) * MD_MS : 0;
}

static void
set_delay (Faults *faults, const Command *command)
{
  faults->delay = word_ms (command, 3);
  faults->jitter = word_ms (command, 4);
}

static void
set_cut (Faults *faults, const Command *command MD_UNUSED)
{
  faults->cut = true;
}

static void
set_truncate (Faults *faults, const Command *command)
{
  faults->truncate = strtol (command->words[3], NULL, 10);
}

static void
set_duplicate (Faults *faults, const Command *command)
{
  faults->duplicate = (unsigned)strtoul (command->words[3], NULL, 10);
}

static void
set_reorder (Faults *faults, const Command *command)
{
  faults->reorder = (unsigned)strtoul (command->words[3], NULL, 10);
}

static const char *
run_conn_delay (Proxy *proxy, const Command *command)
{
  int dir = parse_direction (command->words[2]);
  bool found = false;

  if (dir < 0)
    return bad_direction;
  for (size_t i = 0; i < proxy->n_conns; i++)
    if (names_conn (command->words[1], proxy->conns[i]))
      {
        Flow *flows = proxy->conns[i]->flows;

        found = true;
        if (dir != DOWN)
          flows[UP].delay = word_ms (command, 3);
        if (dir != UP)
          flows[DOWN].delay = word_ms (command, 3);
      }
  return found ? NULL : no_route;
}

static const char *
run_delay (Proxy *proxy, const Command *command, MdBuf *answer MD_UNUSED)
{
  if (strchr (command->words[1], '#') != NULL)
    return run_conn_delay (proxy, command);
  return change_faults (proxy, command, set_delay);
}

static const char *
run_cut (Proxy *proxy, const Command *command, MdBuf *answer MD_UNUSED)
{
  return change_faults (proxy, command, set_cut);
}

static const char *
run_truncate (Proxy *proxy, const Command *command, MdBuf *answer MD_UNUSED)
{
  if (strtol (command->words[3], NULL, 10) <= 0)
    return "N must be positive";
  return change_faults (proxy, command, set_truncate);
}

static const char *
run_unanswered (Proxy *proxy, const Command *command, MdBuf *answer MD_UNUSED)
{
  const char *error = no_route;

  for (size_t i = 0; i < proxy->n_routes; i++)
    if (names_route (command->words[1], proxy->routes[i]))
      {
        proxy->routes[i]->faults[UP].unanswered = (unsigned)strtoul (command->words[2], NULL, 10);
        error = NULL;
      }
  return error;
}

static const char *
run_duplicate (Proxy *proxy, const Command *command, MdBuf *answer MD_UNUSED)
{
  return change_faults (proxy, command, set_duplicate);
}

static const char *
run_reorder (Proxy *proxy, const Command *command, MdBuf *answer MD_UNUSED)
{
  return change_faults (proxy, command, set_reorder);
}

static const char *
run_silence (Proxy *proxy, const Command *command, MdBuf *answer MD_UNUSED)
{
  for (size_t i = 0; i < proxy->n_conns; i++)
    if (names_conn (command->words[1], proxy->conns[i]))
      proxy->conns[i]->silent = true;
  return NULL;
}

static const char *
run_close (Proxy *proxy, const Command *command, MdBuf *answer MD_UNUSED)
{
  for (size_t i = 0; i < proxy->n_conns; i++)
    if (names_conn (command->words[1], proxy->conns[i]))
      proxy->conns[i]->dead = true;
  return NULL;
}

static const char *
run_refuse (Proxy *proxy, const Command *command, MdBuf *answer MD_UNUSED)
{
  const char *error = no_route;

  for (size_t i = 0; i < proxy->n_routes; i++)
    if (names_route (command->words[1], proxy->routes[i]))
      {
        proxy->routes[i]->refuse = true;
        error = NULL;
      }
  return error;
}

static const char *
run_heal (Proxy *proxy, const Command *command, MdBuf *answer MD_UNUSED)
{
  static const Faults none = { .truncate = -1 };
  const char *error = no_route;

  for (size_t i = 0; i < proxy->n_routes; i++)
    if (names_route (command->words[1], proxy->routes[i]))
      {
        proxy->routes[i]->faults[UP] = proxy->routes[i]->faults[DOWN] = none;
        proxy->routes[i]->refuse = false;
        error = NULL;
      }
  for (size_t i = 0; i < proxy->n_conns; i++)
    if (names_route (command->words[1], proxy->conns[i]->route))
      proxy->conns[i]->flows[UP].delay = proxy->conns[i]->flows[DOWN].delay = 0;
  return error;
}

static const char *
run_route (Proxy *proxy, const Command *command, MdBuf *answer)
{
  int port = proxy_add_route (proxy, command->words[1], command->words[2]);

  if (port == 0)
    return bad_address;
  md_buf_printf (answer, "ok 127.0.0.1:%d\n", port);
  return NULL;
}

static const char *
run_target (Proxy *proxy, const Command *command, MdBuf *answer MD_UNUSED)
{
  struct sockaddr_in target;
  const char *error = no_route;

  if (!proxy_parse_address (command->words[2], &target))
    return bad_address;
  for (size_t i = 0; i < proxy->n_routes; i++)
    if (names_route (command->words[1], proxy->routes[i]))
      {
        proxy->routes[i]->target = target;
        error = NULL;
      }
  return error;
}

static const char *
run_list (Proxy *proxy, const Command *command MD_UNUSED, MdBuf *answer)
{
  for (size_t i = 0; i < proxy->n_conns; i++)
    {
      const Conn *conn = proxy->conns[i];

      md_buf_printf (answer, "connection %s#%u up=%llu down=%llu silent=%d\n", conn->route->name,
                     conn->number, (unsigned long long)conn->flows[UP].passed,
                     (unsigned long long)conn->flows[DOWN].passed, conn->silent);
    }
  md_buf_append (answer, MD_STR ("ok\n"));
  return NULL;
}

static const char *
run_quit (Proxy *proxy, const Command *command MD_UNUSED, MdBuf *answer MD_UNUSED)
{
  proxy->quit = true;
  return NULL;
}

static const CommandType command_types[] = {
  { "route", 3, 3, run_route },         { "target", 3, 3, run_target },
  { "delay", 4, 5, run_delay },         { "cut", 3, 3, run_cut },
  { "silence", 2, 2, run_silence },     { "truncate", 4, 4, run_truncate },
  { "duplicate", 4, 4, run_duplicate }, { "reorder", 4, 4, run_reorder },
  { "refuse", 2, 2, run_refuse },       { "close", 2, 2, run_close },
  { "heal", 2, 2, run_heal },           { "list", 1, 1, run_list },
  { "quit", 1, 1, run_quit },           { "unanswered", 3, 3, run_unanswered },
};

static const char *
run_command (Proxy *proxy, const Command *command, MdBuf *answer)
{
  for (size_t i = 0; i < MD_ARRAY_SIZE (command_types); i++)
    {
      const CommandType *type = &command_types[i];

      if (command->n == 0 || strcmp (command->words[0], type->name) != 0)
        continue;
      if (command->n < type->least || command->n > type->most)
        return "wrong number of arguments";
      return type->run (proxy, command, answer);
    }
  return "no such command";
}

void
proxy_run_line (Proxy *proxy, char *line, MdBuf *answer)
{
  Command command = { .n = 0 };
  char *rest = NULL;
  const char *error;

  for (char *word = strtok_r (line, " \t\r", &rest); word != NULL && command.n < MAX_WORDS;
       word = strtok_r (NULL, " \t\r", &rest))
    command.words[command.n++] = word;
  error = run_command (proxy, &command, answer);
  if (error != NULL)
    md_buf_printf (answer, "error %s\n", error);
  else if (answer->len == 0)
    md_buf_append (answer, MD_STR ("ok\n"));
}
