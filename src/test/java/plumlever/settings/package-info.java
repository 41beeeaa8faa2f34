/** Tests of the settings files; they read local files and use no network. */
package plumlever.settings;
