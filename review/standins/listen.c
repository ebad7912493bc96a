/* The platform's part of an upgrade: binds the clients' listening socket on a free loopback port, makes it descriptor 0
   and runs the command, whose children inherit it. The port is in LISTEN_PORT. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

int main(int argc, char **argv) {
    if (argc < 2) {
        fprintf(stderr, "usage: listen COMMAND...\n");
        return 2;
    }
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof address;
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0
            || bind(fd, (struct sockaddr *) &address, sizeof address) < 0 || listen(fd, 512) < 0
            || getsockname(fd, (struct sockaddr *) &address, &length) < 0 || dup2(fd, 0) < 0) {
        perror("listen");
        return 2;
    }
    if (fd != 0) {
        close(fd);
    }
    char port[16];
    snprintf(port, sizeof port, "%d", ntohs(address.sin_port));
    setenv("LISTEN_PORT", port, 1);
    execvp(argv[1], argv + 1);
    perror(argv[1]);
    return 2;
}
