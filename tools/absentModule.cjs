// Replaces optional dependencies of bundled libraries that aren't needed; the libraries catch the error.
throw new Error("left out of the bundle");
