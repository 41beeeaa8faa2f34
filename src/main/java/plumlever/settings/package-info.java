/**
 * The settings: the platform's file (TOML), and the operators' file (YAML) with the scheduler
 * parameters and the sharing of machines among shards.
 *
 * <p>All settings are read and validated once, at startup. Errors name the file, the key and the
 * reason. This package must not depend on the code that uses the settings.
 */
package plumlever.settings;
