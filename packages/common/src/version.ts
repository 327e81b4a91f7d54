/** Version of the daemon and of the command-line tool. */
export const VERSION = "0.1.0";
