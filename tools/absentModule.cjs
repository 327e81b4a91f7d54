// Stands in for optional parts of libraries that the programs do without; their users catch the error.
throw new Error("left out of the bundle");
