/* The platform's part at an upgrade: holds the clients' listening socket and starts processes that inherit it as
   descriptor 0. Each line of standard input is a log file, a tab and a command for /bin/sh; answers with its process. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

int main(int argc, char **argv) {
    static char line[65536];
    if (argc != 2) {
        return 2;
    }
    struct sockaddr_in address = {
        .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK), .sin_port = htons(atoi(argv[1]))};
    int on = 1;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    if (listener < 0 || setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0
            || bind(listener, (struct sockaddr *) &address, sizeof address) < 0 || listen(listener, 512) < 0) {
        perror("holdsocket");
        return 2;
    }
    fcntl(listener, F_SETFD, FD_CLOEXEC);
    signal(SIGCHLD, SIG_IGN);
    puts("ready");
    fflush(stdout);
    while (fgets(line, sizeof line, stdin) != NULL) {
        line[strcspn(line, "\n")] = 0;
        char *tab = strchr(line, '\t');
        if (tab == NULL) {
            return 2;
        }
        *tab = 0;
        pid_t child = fork();
        if (child == 0) {
            int log = open(line, O_WRONLY | O_CREAT | O_APPEND, 0644);
            signal(SIGCHLD, SIG_DFL);
            dup2(listener, 0);
            dup2(log, 1);
            dup2(log, 2);
            close(log);
            execl("/bin/sh", "sh", "-c", tab + 1, (char *) NULL);
            _exit(127);
        }
        printf("%ld\n", (long) child);
        fflush(stdout);
    }
    return 0;
}
