/* connection-socket.h -- the socket of the connection that a thread of CivetWeb serves

   CivetWeb does not expose its sockets. A thread of its server serves one connection from its start
   to its end and reads from it with recv; the recv of this module notes the descriptor for the thread
   and reads. A search for a socket by the peer's address is no substitute: a socket that was reset
   has no peer, and a later connection can come from the same port. */

#ifndef MD_CONNECTION_SOCKET_H
#define MD_CONNECTION_SOCKET_H

/* md_connection_socket_begin: a connection begins in this thread. To be called from the server's
   init_connection, so that none is taken for the former one. */
void md_connection_socket_begin (void);

/* md_connection_socket: descriptor of the connection that this thread serves; open until the
   connection is closed, also when it was reset. -1 before anything was read from it. */
int md_connection_socket (void);

#endif
