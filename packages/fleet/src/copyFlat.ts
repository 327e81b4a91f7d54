/**
 * @param value - An object whose properties are all primitive, or aren't changed through the copy.
 * @returns A copy of the same class.
 */
export function copyFlat<T extends object>(value: T): T {
    return Object.assign(Object.create(Object.getPrototypeOf(value) as object) as T, value);
}
