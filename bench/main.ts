process.exitCode = 1;
