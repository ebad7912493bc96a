/* Holds the clients' listening socket, as the platform does at an upgrade, and starts each command that it reads as a
 * line on its standard input with that socket as descriptor 0. Answers with the process's id. Ends at the end of its
 * input. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

int main(int argc, char **argv) {
    static char line[16384];
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int on = 1;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    if (argc != 2) {
        fprintf(stderr, "usage: platformsocket PORT\n");
        return 2;
    }
    address.sin_port = htons(atoi(argv[1]));
    if (listener < 0 || setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0
            || bind(listener, (struct sockaddr *) &address, sizeof address) < 0 || listen(listener, 512) < 0) {
        perror("platformsocket");
        return 2;
    }
    signal(SIGCHLD, SIG_IGN);
    while (fgets(line, sizeof line, stdin) != NULL) {
        pid_t child;
        line[strcspn(line, "\n")] = 0;
        child = fork();
        if (child == 0) {
            signal(SIGCHLD, SIG_DFL);
            dup2(listener, 0);
            close(listener);
            execl("/bin/sh", "sh", "-c", line, (char *) NULL);
            _exit(127);
        }
        printf("%d\n", (int) child);
        fflush(stdout);
    }
    return 0;
}
